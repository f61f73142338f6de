"""Connection pools, queues and write acknowledgement of held slots."""
