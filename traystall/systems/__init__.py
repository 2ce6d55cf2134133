"""Pure decisions over the tables, one module a decision."""
