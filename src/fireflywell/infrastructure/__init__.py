"""Clients of the platform's services: tables, objects, VMs and workers."""
