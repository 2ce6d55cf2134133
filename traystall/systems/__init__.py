"""Pure decision logic over the tables: one module for each decision, without I/O."""
