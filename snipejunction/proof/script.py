"""Scenario scripts: their statements and their parser."""

from __future__ import annotations

import operator
from importlib import resources
from types import MappingProxyType
from typing import Any, Final, TypeAlias

from lark import Lark, Token, Transformer
from lark.exceptions import LarkError

from snipejunction.errors import SnipejunctionError
from snipejunction.helpers.records import Record

Options: TypeAlias = dict[str, Any]

_UNIT_FACTORS: Final = MappingProxyType({'ms': 0.001, 's': 1, '%': 0.01})
_RELATIONS: Final = MappingProxyType(
    {'<=': operator.le, '>=': operator.ge, '=': operator.eq},
)


class ScriptError(SnipejunctionError):
    """A scenario script cannot be read."""


class ServiceLine(Record):
    """A service with its searchers."""

    __slots__ = ('name', 'options')

    def __init__(self, name: str, options: Options) -> None:
        """Create the line of service ``name``."""
        self.name = name
        self.options = options


class FlowLine(Record):
    """What a caller may send, or sends, to a service."""

    __slots__ = ('caller', 'kind', 'options', 'service')

    def __init__(
        self,
        kind: str,
        caller: str,
        service: str,
        options: Options,
    ) -> None:
        """Create a line; ``kind`` is allow, load or runs."""
        self.kind = kind
        self.caller = caller
        self.service = service
        self.options = options


class ActionLine(Record):
    """Something that happens at a time, in seconds."""

    __slots__ = ('arguments', 'verb', 'when')

    def __init__(self, when: float, verb: str, arguments: list[Any]) -> None:
        """Create a line."""
        self.when = when
        self.verb = verb
        self.arguments = arguments


class ExpectLine(Record):
    """A bound on a figure of the run, from one time to another."""

    __slots__ = ('bound', 'figure', 'relation', 'window')

    def __init__(
        self,
        figure: str,
        relation: str,
        bound: float,
        window: tuple[float, float],
    ) -> None:
        """Create a line."""
        self.figure = figure
        self.relation = relation
        self.bound = bound
        self.window = window

    def holds(self, seen: float) -> bool:
        """Return whether a figure keeps the bound."""
        return bool(_RELATIONS[self.relation](seen, self.bound))


class Script(Record):
    """One scenario: who takes part, what happens and what must hold."""

    __slots__ = (
        'actions',
        'delays',
        'end',
        'expectations',
        'flows',
        'host_count',
        'regions',
        'seed',
        'services',
        'voters',
    )

    def __init__(self) -> None:
        """Create a scenario of three hosts in one region."""
        self.seed = 1
        self.host_count = 3
        self.regions: list[str] = ['lagos']
        self.voters: list[str] = ['h1', 'h2', 'h3']
        self.delays: Options = {}
        self.services: list[ServiceLine] = []
        self.flows: list[FlowLine] = []
        self.actions: list[ActionLine] = []
        self.expectations: list[ExpectLine] = []
        self.end = 30.0


class _ScriptBuilder(Transformer[Token, Any]):
    """Builds a script from the parse tree, statement by statement."""

    def __init__(self) -> None:
        super().__init__()
        self._script = Script()

    def start(self, _lines: list[Any]) -> Script:
        return self._script

    def quantity(self, parts: list[Token]) -> float:
        text = str(parts[0])
        for unit, factor in _UNIT_FACTORS.items():
            if text.endswith(unit):
                return float(text.removesuffix(unit)) * factor
        return float(text)

    def option(self, parts: list[Any]) -> tuple[str, Any]:
        return str(parts[0]), _plain(parts[1])

    def argument(self, parts: list[Any]) -> Any:
        return _plain(parts[0])

    def window(self, parts: list[float]) -> tuple[float, float]:
        return parts[0], parts[1]

    def seed(self, parts: list[Token]) -> None:
        self._script.seed = int(parts[0])

    def hosts(self, parts: list[Token]) -> None:
        self._script.host_count = int(parts[0])
        self._script.regions = [str(part) for part in parts[1:]]

    def voters(self, parts: list[Token]) -> None:
        self._script.voters = [str(part) for part in parts]

    def delays(self, parts: list[tuple[str, Any]]) -> None:
        self._script.delays = dict(parts)

    def service(self, parts: list[Any]) -> None:
        line = ServiceLine(str(parts[0]), dict(parts[1:]))
        self._script.services.append(line)

    def allow(self, parts: list[Any]) -> None:
        self._add_flow('allow', parts)

    def load(self, parts: list[Any]) -> None:
        self._add_flow('load', parts)

    def runs(self, parts: list[Any]) -> None:
        self._add_flow('runs', parts)

    def timed(self, parts: list[Any]) -> None:
        action = ActionLine(parts[0], str(parts[1]), parts[2:])
        self._script.actions.append(action)

    def every(self, parts: list[Any]) -> None:
        step, begin, end = parts[:3]
        times = int((end - begin) / step) + 1
        for index in range(times):
            action = ActionLine(
                begin + index * step,
                str(parts[3]),
                parts[4:],
            )
            self._script.actions.append(action)

    def expect(self, parts: list[Any]) -> None:
        window = parts[3] if len(parts) > 3 else (0, float('inf'))
        line = ExpectLine(str(parts[0]), str(parts[1]), parts[2], window)
        self._script.expectations.append(line)

    def end(self, parts: list[float]) -> None:
        self._script.end = parts[0]

    def _add_flow(self, kind: str, parts: list[Any]) -> None:
        caller, service = str(parts[0]), str(parts[1])
        line = FlowLine(kind, caller, service, dict(parts[2:]))
        self._script.flows.append(line)


def parse_script(text: str) -> Script:
    """Return the scenario that a script describes.

    Raises:
        ScriptError: if it breaks the grammar; names the line.
    """
    try:
        tree = _parser().parse(_without_comments(text))
    except LarkError as error:
        raise ScriptError(str(error)) from error
    script = _ScriptBuilder().transform(tree)
    if not isinstance(script, Script):
        raise ScriptError('the script is empty')
    return script


def _without_comments(text: str) -> str:
    lines = [line.partition('#')[0] for line in text.splitlines()]
    return '\n'.join(lines).strip()


def _parser() -> Lark:
    package = resources.files('snipejunction.proof')
    grammar = package.joinpath('script.lark').read_text()
    return Lark(grammar, parser='lalr', lexer='contextual')


def _plain(part: Any) -> Any:
    return str(part) if isinstance(part, Token) else part
