"""Validates JSON values against the schemas of the OpenAPI file."""

from __future__ import annotations

import json
from pathlib import Path
from types import MappingProxyType
from typing import Any

_FILE = Path(__file__).parents[3] / 'docs' / 'openapi.json'
_TYPES = MappingProxyType(
    {
        'object': (dict,),
        'array': (list,),
        'string': (str,),
        'integer': (int,),
        'number': (int, float),
        'boolean': (bool,),
        'null': (type(None),),
    }
)


class OpenApi:
    """The OpenAPI description under docs."""

    def __init__(self) -> None:
        self.document: dict[str, Any] = json.loads(_FILE.read_text())

    def operations(self) -> set[tuple[str, str]]:
        """Return all methods and paths."""
        return {
            (method.upper(), path)
            for path, methods in self.document['paths'].items()
            for method in methods
        }

    def schema(self, name: str) -> dict[str, Any]:
        """Return the schema with a name."""
        schema: dict[str, Any] = self.document['components']['schemas'][name]
        return schema

    def response_schema_name(self, method: str, path: str, status: int) -> str:
        """Return the name of the schema of a response."""
        operation = self.document['paths'][path][method.lower()]
        responses = operation['responses']
        response = responses.get(str(status), responses['default'])
        reference = response['content']['application/json']['schema']['$ref']
        return str(reference).rsplit('/', 1)[-1]

    def problems(self, schema: dict[str, Any], value: Any) -> list[str]:
        """Return the violations of a schema by a value."""
        if '$ref' in schema:
            schema = self.schema(schema['$ref'].rsplit('/', 1)[-1])
        problems = _scalar_problems(schema, value)
        if isinstance(value, dict) and 'properties' in schema:
            problems += self._object_problems(schema, value)
        if isinstance(value, list):
            items = schema.get('items', {})
            problems += [
                problem
                for item in value
                for problem in self.problems(items, item)
            ]
        return problems

    def _object_problems(
        self,
        schema: dict[str, Any],
        value: dict[str, Any],
    ) -> list[str]:
        properties = schema['properties']
        problems = [
            f'{name} is missing'
            for name in schema['required']
            if name not in value
        ]
        problems += [
            f'{name} is unknown' for name in value if name not in properties
        ]
        for name in set(value) & set(properties):
            inner = self.problems(properties[name], value[name])
            problems += [f'{name}: {problem}' for problem in inner]
        return problems


def _scalar_problems(schema: dict[str, Any], value: Any) -> list[str]:
    problems = []
    named = schema.get('type')
    kinds = [named] if isinstance(named, str) else named or []
    if kinds and not any(_has_type(kind, value) for kind in kinds):
        problems.append(f'{value!r} is no {named}')
    if 'enum' in schema and value not in schema['enum']:
        problems.append(f'{value!r} is not listed')
    if 'minimum' in schema and value < schema['minimum']:
        problems.append(f'{value!r} is too small')
    if 'maximum' in schema and value > schema['maximum']:
        problems.append(f'{value!r} is too large')
    return problems


def _has_type(kind: str, value: Any) -> bool:
    if isinstance(value, bool) and kind != 'boolean':
        return False
    return isinstance(value, _TYPES[kind])
