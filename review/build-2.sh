#!/bin/sh
# Builds the stand-ins that the scripts of cases 6, 7, 9 and 10 start. They are one
# module of the standard library's parts, so they are only compiled.
set -e
cd "$(dirname "$0")"
python3 -m py_compile platform_standin.py 6/case.py 7/case.py 9/case.py 10/case.py
