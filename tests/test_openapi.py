"""Tests that the OpenAPI document matches the routes of the caller API."""

import ast
import inspect
import json
from enum import Enum
from pathlib import Path
from textwrap import dedent

import msgspec
import pytest

from hickoryplank.core.ids import ClaimId
from hickoryplank.core.work import Failed, NotRun, NotRunReason, Queued, Unknown
from hickoryplank.shell import api
from hickoryplank.shell.caller_problems import Problem, problem_response

DOCUMENT = json.loads(Path("docs/openapi.json").read_text("utf-8"))
SUBMIT = "/v1/queues/{queue}/work"


def operations() -> dict[tuple[str, str], dict]:
    return {
        (path, method.upper()): operation
        for path, item in DOCUMENT["paths"].items()
        for method, operation in item.items()
        if method != "parameters"
    }


def resolve_ref(item: dict) -> dict:
    while "$ref" in item:
        found = DOCUMENT
        for part in item["$ref"].removeprefix("#/").split("/"):
            found = found[part]
        item = found
    return item


def literal_refusal_codes(method) -> set[str]:
    """Return the literal status codes of the refusals in a method's source."""
    tree = ast.parse(dedent(inspect.getsource(method)))
    return {
        str(node.args[0].value)
        for node in ast.walk(tree)
        if isinstance(node, ast.Call)
        and getattr(node.func, "id", "") == "refusal"
        and isinstance(node.args[0], ast.Constant)
    }


ADMISSION = literal_refusal_codes(api.CallerApi._admit) | {"401"}
CLAIM = literal_refusal_codes(api.CallerApi._find_claim) | ADMISSION
NOT_RUN = {str(problem_response(NotRun(reason=r)).status_code) for r in NotRunReason}
NO_ANSWER = {
    str(problem_response(kind(detail="")).status_code) for kind in (Failed, Unknown)
}
ACCEPTED = {str(api._response_to(Queued(claim=ClaimId("c"))).status_code)}
ROUTES = {
    (SUBMIT, "POST"): {"200"}
    | ACCEPTED
    | ADMISSION
    | NOT_RUN
    | NO_ANSWER
    | literal_refusal_codes(api.CallerApi._submit)
    | literal_refusal_codes(api.CallerApi._read_body)
    | literal_refusal_codes(api.CallerApi._work_request)
    | literal_refusal_codes(api.CallerApi._run),
    ("/v1/work/{claim}", "GET"): {"200"} | CLAIM,
    ("/v1/work/{claim}", "DELETE"): {"202"} | CLAIM,
    ("/v1/work/{claim}/answer", "GET"): {"200"}
    | CLAIM
    | NO_ANSWER
    | {str(problem_response(NotRun(reason=NotRunReason.REFUSED)).status_code)}
    | literal_refusal_codes(api.CallerApi.answer),
}


def test_document_lists_the_routes_of_the_program():
    routes = api.CallerApi(None, None, None, None).routes()
    served = {
        (route.path, method) for route in routes for method in route.methods - {"HEAD"}
    }
    assert set(operations()) == served == set(ROUTES)


@pytest.mark.parametrize(("path", "method"), list(ROUTES))
def test_document_lists_the_status_codes_of_a_route(path, method):
    responses = operations()[path, method]["responses"]
    assert set(responses) == ROUTES[path, method]
    assert all(resolve_ref(response)["description"] for response in responses.values())


@pytest.mark.parametrize(
    ("name", "struct"), [("WorkStatus", api.WorkStatus), ("Problem", Problem)]
)
def test_schema_has_the_fields_of_its_message(name, struct):
    schema = DOCUMENT["components"]["schemas"][name]
    fields = msgspec.structs.fields(struct)
    assert set(schema["properties"]) == {field.name for field in fields}
    assert set(schema["required"]) == {f.name for f in fields if f.required}
    for field in fields:
        if inspect.isclass(field.type) and issubclass(field.type, Enum):
            values = [value.value for value in field.type]
            assert schema["properties"][field.name]["enum"] == values
