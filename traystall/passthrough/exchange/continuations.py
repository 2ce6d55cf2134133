"""Restrict a stream that is continued to targets of the software version that began it."""

from traystall.core import clock
from traystall.core.logs import decision
from traystall.passthrough.context import PassContext
from traystall.passthrough.entry.request import PassRequest
from traystall.passthrough.exceptions import NoAnswer
from traystall.passthrough.exchange.refusals import Refusals
from traystall.passthrough.health.board import TargetView
from traystall.streams.models import StreamOrigin, stream_digest
from traystall.streams.origins import StreamLookup

# A caller continues a stream within its deadline, which is taken to be at most this multiple of the
# route's timeout after the first event. Origins are kept for that time.
_LIFETIME_TIMEOUT_FACTOR = 2.0
# How long control daemons may take to confirm which targets there are. The caller waits meanwhile.
_CONFIRM_TIMEOUT_SECONDS = 0.25
# Longer or repeated ids of the first request are not looked up.
_MAX_ID_LENGTH = 256
# Refusal code for a stream whose version is unknown, and for one whose version has no target.
UNKNOWN_VERSION = "unknown-version"
VERSION_GONE = "version-gone"
# Retry-After if no target of the version is left; one that has crashed is back after some seconds.
_VERSION_GONE_RETRY_AFTER_SECONDS = 1.0


class Continuations:
    """Decide at which software version the streams of one gateway go on."""

    def __init__(self, context: PassContext, refusals: Refusals):
        self._context = context
        self._refusals = refusals

    async def require_version(self, passed: PassRequest) -> None:
        """Set the version for a caller's continuation of a stream; raise Refusal if there is none.

        A version that is not known is not any version: the caller would receive events that do not
        fit together.
        """
        if not passed.continues_stream:
            return
        version = await self._find_version(passed)
        if version is None:
            detail = "The version that began this stream is not known."
            raise self._refusals.refusal(passed, UNKNOWN_VERSION, detail)
        passed.version = version
        eligible = self._context.board.eligible(passed.pool, passed.places)
        if all(view.report.version != version for view in eligible):
            detail = "No target of the version that began this stream is left."
            raise self._refusals.refusal(
                passed, VERSION_GONE, detail, _VERSION_GONE_RETRY_AFTER_SECONDS
            )

    def on_first_event(self, passed: PassRequest, view: TargetView) -> None:
        """Bind a stream to the version of the target that wrote its first event.

        Raise NoAnswer if another incarnation of the target may have written it.
        """
        if not passed.route.resumable:
            return
        current = self._context.board.view(view.identity)
        if current is not None and current is not view:
            raise NoAnswer("Another incarnation of the target may have answered.", sent=True)
        passed.version = view.report.version
        first_id = passed.resumes or passed.request_id
        if not first_id or len(first_id) > _MAX_ID_LENGTH:
            return
        now = clock.monotonic()
        passed.stream_digest = self._digest(passed, first_id)
        origin = StreamOrigin(
            passed.stream_digest,
            passed.pool,
            passed.version,
            now + self._lifetime(passed),
            {view.report.life: now},
        )
        self._context.streams.record(origin)

    def is_uncertain(self, passed: PassRequest) -> bool:
        """Return whether it has become uncertain which version wrote the events of a stream."""
        if not passed.stream_digest:
            return False
        origin = self._context.streams.get(passed.stream_digest)
        return origin is not None and origin.version is None

    async def _find_version(self, passed) -> str | None:
        """Return the version at which a stream goes on, or None if it is not certain."""
        pools = sorted({split.pool for split in passed.route.splits})
        digest = self._requested_digest(passed)
        lifetime = self._lifetime(passed)
        found = StreamLookup(self._context.streams.get(digest)) if digest else StreamLookup()
        if found.origin is None and digest:
            found = await self._context.streams.find(digest, pools, lifetime)
        origin = found.origin
        only = None
        if origin is None or not origin.version:
            only = await self._confirmed_version(pools, found.only_versions, lifetime)
        decision(
            "continue",
            request=passed.request_id,
            resumes=passed.resumes,
            origin=origin and origin.version,
            only=only,
        )
        if origin is None:
            return only
        if origin.pool in pools:
            passed.pool = origin.pool
        # Targets that name no version may be of any, unless none ever named one.
        return origin.version or only

    async def _confirmed_version(self, pools, only_versions, seconds) -> str | None:
        """Return the agreed version once the control daemons have confirmed it.

        Another gateway may have begun the stream at a target that is not known here yet. It has
        learned of that target from a control daemon before this request came.
        """
        if self._agreed_version(pools, only_versions, seconds) is None:
            return None
        if not await self._context.registry.confirm(_CONFIRM_TIMEOUT_SECONDS):
            return None
        return self._agreed_version(pools, only_versions, seconds)

    def _agreed_version(self, pools, only_versions, seconds) -> str | None:
        """Return the only version that this gateway or a holder is certain of, if none differs."""
        own = self._context.only_version(pools, seconds)
        certain = only_versions | ({own} - {None})
        views = [view for pool in pools for view in self._context.board.pool(pool)]
        known = certain | {view.report.version for view in views}
        return next(iter(known)) if certain and len(known) == 1 else None

    def _requested_digest(self, passed) -> bytes:
        """Return the digest of the stream that a request continues, or b"" if it names none."""
        named = set(passed.caller.get_all(self._context.names.resumes))
        if len(named) != 1 or not 0 < len(passed.resumes) <= _MAX_ID_LENGTH:
            return b""
        return self._digest(passed, passed.resumes)

    def _digest(self, passed, request_id) -> bytes:
        customer = passed.customer.name if passed.customer else ""
        return stream_digest(self._context.digest_key, customer, request_id)

    def _lifetime(self, passed) -> float:
        """Return how many seconds after its first event a stream may still be continued."""
        return passed.route.timeout * _LIFETIME_TIMEOUT_FACTOR
