"""The signed bundle: model, schema, signatures, review and acceptance."""
