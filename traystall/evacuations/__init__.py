"""Evacuations: data centres whose targets get no new work, by order of an operator."""
