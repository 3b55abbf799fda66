"""Encodes and decodes messages as packed Cap'n Proto frames."""

from __future__ import annotations

from operator import attrgetter
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
from cicadaledge.wire._messages import IN_COLUMNS, IS_INTERNED, AccountUse, ServerUse, SpeedReport

FRAME_LIMIT_BYTES = 4 * 1_048_576
_TRAVERSAL_LIMIT_WORDS = 4 * 1_048_576
_MAX_NAMES = 60_000

_schema = capnp.load(str(Path(__file__).with_name("control.capnp")))


@define
class NameTable:
    """Names that one side of a link has sent; later frames refer to them by index.

    Args:
        unsent: Names to be sent with the next frame.
    """

    names: list[str] = field(factory=list)
    indexes: dict[str, int] = field(factory=dict)
    unsent: list[str] = field(factory=list)

    @property
    def is_full(self) -> bool:
        """Whether the table has reached its limit; the link must then be set up again."""
        return len(self.names) >= _MAX_NAMES

    def index(self, name: str) -> int:
        """Return the index of a name to send; a new name is sent with the next frame."""
        index = self.indexes.get(name)
        if index is None:
            index = len(self.names)
            self.indexes[name] = index
            self.names.append(name)
            self.unsent.append(name)
        return index

    def extend(self, names: list[str]) -> None:
        """Add the names of a received frame.

        Raises:
            FrameError: The table would exceed twice the limit that senders observe.
        """
        if len(self.names) + len(names) > _MAX_NAMES * 2:
            raise FrameError("the peer has sent too many names")
        self.names += names

    def name(self, index: int) -> str:
        """Return the received name at an index."""
        return self.names[index]


# The converter's hooks use this table, which belongs to the link whose message is being converted.
# It can be global because encoding and decoding are synchronous.
_current_table = NameTable()
_converter = cattrs.Converter(detailed_validation=False)


def _to_index(value: Any) -> Any:
    if isinstance(value, list):
        return [_current_table.index(item) for item in value]
    return _current_table.index(value)


def _from_index(value: Any, message_type: Any) -> Any:
    if isinstance(value, list):
        return [_current_table.name(item) for item in value]
    return _current_table.name(value)


def _column_hooks(record_type: type[Any], names_field: str) -> tuple[Any, Any]:
    """Return hooks that convert records to the names in their first fields and columns of figures.

    Args:
        names_field: Field of the schema that holds the names.
    """
    name_of = attrgetter(attrs.fields(record_type)[0].name)

    def unstructure(records: list[Any]) -> dict[str, Any]:
        names = [_current_table.index(name_of(record)) for record in records]
        return {names_field: names, "figures": to_columns(record_type, records)}

    def structure(value: dict[str, Any], message_type: Any) -> list[Any]:
        names = [_current_table.name(index) for index in value[names_field]]
        return from_columns(record_type, names, value["figures"])

    return unstructure, structure


_COLUMN_HOOKS: dict[str, tuple[Any, Any]] = {
    "servers": _column_hooks(ServerUse, "servers"),
    "accounts": _column_hooks(AccountUse, "accounts"),
    "speeds": _column_hooks(SpeedReport, "servers"),
}


def _camel(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(part.title() for part in rest)


def _override(attribute: Any) -> Any:
    if attribute.metadata.get(IS_INTERNED):
        return override(
            rename=_camel(attribute.name), unstruct_hook=_to_index, struct_hook=_from_index
        )
    if attribute.metadata.get(IN_COLUMNS):
        unstructure, structure = _COLUMN_HOOKS[attribute.name]
        return override(
            rename=_camel(attribute.name), unstruct_hook=unstructure, struct_hook=structure
        )
    return override(rename=_camel(attribute.name))


def _register(message_type: type) -> None:
    overrides = {attribute.name: _override(attribute) for attribute in attrs.fields(message_type)}
    _converter.register_unstructure_hook(
        message_type, make_dict_unstructure_fn(message_type, _converter, **overrides)
    )
    _converter.register_structure_hook(
        message_type, make_dict_structure_fn(message_type, _converter, **overrides)
    )


_converter.register_structure_hook(bytes, lambda value, _: bytes(value))
_converter.register_unstructure_hook(bytes, lambda value: value)

_NESTED_TYPES: tuple[type, ...] = (
    _messages.Descriptor,
    _messages.Running,
    _messages.LeaseItem,
    _messages.LeaseGrant,
    _messages.TransferItem,
    _messages.AccountCost,
    _messages.Crash,
    _messages.DepartingServer,
    _messages.RolloutCell,
)
_MESSAGE_TYPES: tuple[type, ...] = (
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
    _messages.RolloutView,
)

for _type in _NESTED_TYPES + _MESSAGE_TYPES:
    _register(_type)

_TYPES_BY_FRAME_NAME = {
    message_type.__name__[0].lower() + message_type.__name__[1:]: message_type
    for message_type in _MESSAGE_TYPES
}
_FRAME_NAMES_BY_TYPE = {message_type: name for name, message_type in _TYPES_BY_FRAME_NAME.items()}


def encode_message(message: Any, table: NameTable | None = None) -> bytes:
    """Return the packed frame of a message, without its length prefix.

    Args:
        table: Names already sent on the link; they are encoded as indexes.
    """
    global _current_table
    _current_table = table or NameTable()
    body = _converter.unstructure(message)
    names, _current_table.unsent = _current_table.unsent, []
    frame = _schema.Frame.new_message(names=names, **{_FRAME_NAMES_BY_TYPE[type(message)]: body})
    packed: bytes = frame.to_bytes_packed()
    return packed


def decode_message(data: bytes, table: NameTable | None = None) -> Any:
    """Return the message in a packed frame.

    Args:
        table: Names already received on the link.

    Raises:
        FrameError: The data is not a valid frame of the schema.
    """
    global _current_table
    _current_table = table or NameTable()
    try:
        frame = _schema.Frame.from_bytes_packed(
            data, traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS
        )
        _current_table.extend(list(frame.names))
        name = str(frame.which())
        body = getattr(frame, name).to_dict()
        return _converter.structure(body, _TYPES_BY_FRAME_NAME[name])
    except Exception as error:  # noqa: BLE001 - pycapnp raises C++ exceptions
        raise FrameError(f"malformed frame of {len(data)} bytes: {error}") from error
