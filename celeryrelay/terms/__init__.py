"""Terms of database groups, write acknowledgement and failover decisions.

A term is a numbered period in which a database group has at most one primary.
The modules do no input or output. The modules named `..._model` and
`term_model_...` are explicit-state models that only tests run.
"""
