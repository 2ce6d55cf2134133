"""Errors of permits."""

from traystall.core.exceptions import GatewayError


class PermitDenied(GatewayError):
    """Report that no permit is available; `wait` is the time in seconds until the next one."""

    def __init__(self, wait: float):
        self.wait = wait
        super().__init__(f"Others have what the target takes for {wait:.2f} s.")
