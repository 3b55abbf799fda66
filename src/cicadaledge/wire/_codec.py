"""Packed Cap'n Proto frames of the typed messages."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import attrs
import capnp
import cattrs
from attrs import define, field
from cattrs.gen import make_dict_structure_fn, make_dict_unstructure_fn, override

from cicadaledge.errors import FrameError
from cicadaledge.wire import _messages
from cicadaledge.wire._columns import from_columns, to_columns
from cicadaledge.wire._messages import IN_COLUMNS, IS_NAME, AccountUse, ServerUse

FRAME_LIMIT_BYTES = 4 * 1_048_576
_TRAVERSAL_LIMIT_WORDS = 4 * 1_048_576
_NAMES_LIMIT = 60_000

_schema = capnp.load(str(Path(__file__).with_name("control.capnp")))


@define
class NameTable:
    """Names that one side of a link has sent, by index."""

    names: list[str] = field(factory=list)
    indexes: dict[str, int] = field(factory=dict)
    unsent: list[str] = field(factory=list)

    @property
    def is_full(self) -> bool:
        """Whether the link should be set up again with empty tables."""
        return len(self.names) >= _NAMES_LIMIT

    def index(self, name: str) -> int:
        """Return the index of a name to send; new names go out with the frame."""
        index = self.indexes.get(name)
        if index is None:
            index = len(self.names)
            self.indexes[name] = index
            self.names.append(name)
            self.unsent.append(name)
        return index

    def extend(self, names: list[str]) -> None:
        """Take over the names of a received frame."""
        if len(self.names) + len(names) > _NAMES_LIMIT * 2:
            raise FrameError("the peer has sent too many names")
        self.names += names

    def name(self, index: int) -> str:
        """Return a received name."""
        return self.names[index]


# Encoding and decoding are synchronous, so the table in use can stand here.
_table = NameTable()
_converter = cattrs.Converter(detailed_validation=False)


def _to_name(value: Any) -> Any:
    if isinstance(value, list):
        return [_table.index(item) for item in value]
    return _table.index(value)


def _from_name(value: Any, kind: Any) -> Any:
    if isinstance(value, list):
        return [_table.name(item) for item in value]
    return _table.name(value)


def _to_uses(uses: list[ServerUse]) -> dict[str, Any]:
    names = [_table.index(use.server) for use in uses]
    return {"servers": names, "figures": to_columns(ServerUse, uses)}


def _from_uses(value: dict[str, Any], kind: Any) -> list[ServerUse]:
    names = [_table.name(index) for index in value["servers"]]
    return from_columns(ServerUse, names, value["figures"])


def _to_rates(uses: list[AccountUse]) -> dict[str, Any]:
    names = [_table.index(use.account) for use in uses]
    return {"accounts": names, "figures": to_columns(AccountUse, uses)}


def _from_rates(value: dict[str, Any], kind: Any) -> list[AccountUse]:
    names = [_table.name(index) for index in value["accounts"]]
    return from_columns(AccountUse, names, value["figures"])


_COLUMN_HOOKS: dict[str, tuple[Any, Any]] = {
    "servers": (_to_uses, _from_uses),
    "accounts": (_to_rates, _from_rates),
}


def _camel(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(part.title() for part in rest)


def _override(attribute: Any) -> Any:
    if attribute.metadata.get(IS_NAME):
        return override(
            rename=_camel(attribute.name), unstruct_hook=_to_name, struct_hook=_from_name
        )
    if attribute.metadata.get(IN_COLUMNS):
        to_plain, from_plain = _COLUMN_HOOKS[attribute.name]
        return override(
            rename=_camel(attribute.name), unstruct_hook=to_plain, struct_hook=from_plain
        )
    return override(rename=_camel(attribute.name))


def _register(kind: type) -> None:
    overrides = {attribute.name: _override(attribute) for attribute in attrs.fields(kind)}
    _converter.register_unstructure_hook(
        kind, make_dict_unstructure_fn(kind, _converter, **overrides)
    )
    _converter.register_structure_hook(kind, make_dict_structure_fn(kind, _converter, **overrides))


_converter.register_structure_hook(bytes, lambda value, _: bytes(value))
_converter.register_unstructure_hook(bytes, lambda value: value)

_PARTS: tuple[type, ...] = (
    _messages.Descriptor,
    _messages.Running,
    _messages.LeaseItem,
    _messages.LeaseGrant,
    _messages.TransferItem,
    _messages.AccountCost,
    _messages.Crash,
    _messages.DepartingServer,
)
_FRAMES: tuple[type, ...] = (
    _messages.Hello,
    _messages.Proof,
    _messages.Heartbeat,
    _messages.StateRequest,
    _messages.StateReply,
    _messages.Enqueue,
    _messages.Progress,
    _messages.Adopt,
    _messages.Withdraw,
    _messages.Grant,
    _messages.Done,
    _messages.LeaseRequest,
    _messages.LeaseReply,
    _messages.LeaseRelease,
    _messages.ServerSign,
    _messages.TransferRequest,
    _messages.TransferReply,
    _messages.Counters,
    _messages.Crashes,
    _messages.Witness,
    _messages.LoadView,
    _messages.StoreNews,
)

for _kind in _PARTS + _FRAMES:
    _register(_kind)

_FRAME_KINDS = {kind.__name__[0].lower() + kind.__name__[1:]: kind for kind in _FRAMES}
_FRAME_NAMES = {kind: name for name, kind in _FRAME_KINDS.items()}


def encode_message(message: Any, table: NameTable | None = None) -> bytes:
    """Return the packed frame of a message, without its length prefix.

    Args:
        table: Names that the receiver already has; they are sent as indexes.
    """
    global _table
    _table = table or NameTable()
    body = _converter.unstructure(message)
    names, _table.unsent = _table.unsent, []
    frame = _schema.Frame.new_message(names=names, **{_FRAME_NAMES[type(message)]: body})
    packed: bytes = frame.to_bytes_packed()
    return packed


def decode_message(data: bytes, table: NameTable | None = None) -> Any:
    """Return the message in a packed frame.

    Args:
        table: Names that the sender has sent before on the link.

    Raises:
        FrameError: The bytes are not a frame of this schema.
    """
    global _table
    _table = table or NameTable()
    try:
        frame = _schema.Frame.from_bytes_packed(
            data, traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS
        )
        _table.extend(list(frame.names))
        name = str(frame.which())
        body = getattr(frame, name).to_dict()
        return _converter.structure(body, _FRAME_KINDS[name])
    except Exception as error:  # noqa: BLE001 - the library raises its own C++ errors
        raise FrameError(f"malformed frame of {len(data)} bytes: {error}") from error
