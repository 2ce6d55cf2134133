"""Departures that targets announced and that outlive the daemons."""
