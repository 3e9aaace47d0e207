"""The fields read for routing equal those that the protobuf library reads, and malformed requests are rejected."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sprucespool import interface as it
from sprucespool.grpc import Status
from sprucespool.wire import inference_pb2 as oip
from sprucespool.wire import outcomes
from sprucespool.wire.peek import MalformedRequest, peek_request, wrap_stream_result

FAST = settings(max_examples=300, deadline=None, derandomize=True, database=None)
TEXT = st.text(max_size=20)
VALUE = st.one_of(st.booleans(), st.integers(-(2**63), 2**63 - 1), TEXT, st.floats(allow_nan=False))
KINDS = {bool: "bool_param", int: "int64_param", str: "string_param", float: "double_param"}


@FAST
@given(TEXT, TEXT, TEXT, st.dictionaries(TEXT, VALUE, max_size=6), st.lists(st.binary(max_size=200), max_size=3))
def test_peek_request_reads_the_same_fields_as_protobuf(model, version, id, parameters, tensors):
    message = oip.ModelInferRequest(model_name=model, model_version=version, id=id, raw_input_contents=tensors)
    message.inputs.add(name="audio", datatype="BYTES", shape=[1, -1]).parameters["model_group"].string_param = "no"
    for name, value in parameters.items():
        setattr(message.parameters[name], KINDS[type(value)], value)
    fields = peek_request(message.SerializeToString())
    assert (fields.model, fields.version, fields.id, fields.parameters) == (model, version, id, parameters)


@FAST
@given(st.binary(max_size=120))
def test_random_bytes_are_read_or_raise_malformed_request(data):
    try:
        peek_request(data)
    except MalformedRequest as error:
        assert str(error)


def test_too_long_names_and_too_many_parameters_are_refused():
    with pytest.raises(MalformedRequest, match="512 are allowed"):
        peek_request(oip.ModelInferRequest(model_name="m" * 600).SerializeToString())
    message = oip.ModelInferRequest()
    for n in range(70):
        message.parameters[f"p{n}"].bool_param = True
    with pytest.raises(MalformedRequest, match="more than 64 parameters"):
        peek_request(message.SerializeToString())


def test_protobuf_reads_a_wrapped_result():
    for size in (0, 1, 127, 128, 20_000, 3_000_000):
        result = oip.ModelInferResponse(id="x", raw_output_contents=[bytes(size)])
        wrapped = oip.ModelStreamInferResponse.FromString(wrap_stream_result(result.SerializeToString()))
        assert wrapped.infer_response == result and not wrapped.error_message


def test_only_statuses_that_prove_it_count_as_not_run():
    not_run = {it.Outcome.FULL, it.Outcome.UNCONNECTED, it.Outcome.NOT_SENT, it.Outcome.MISS}
    outcome_by_status = {
        (status, messages): outcomes.of_answer(status, messages) for status in Status for messages in (0, 1)
    }
    assert {key for key, outcome in outcome_by_status.items() if outcome in not_run} == {
        (Status.NOT_FOUND, 0),
        (Status.RESOURCE_EXHAUSTED, 0),
    }
    assert [key for key, outcome in outcome_by_status.items() if outcome is it.Outcome.RETURNED] == [(Status.OK, 1)]
    assert outcomes.of_reset(True, 0) is it.Outcome.FULL
    assert outcomes.of_reset(True, 1) is outcomes.of_reset(False, 0) is it.Outcome.RESET


def test_malformed_trailers_of_an_invoker_are_ignored():
    trailers = {"spruce-found": "hot", "spruce-same-model": "-3", "spruce-report": "util=0.5,x,y=z,=4,w=1e999"}
    assert outcomes.read_found(trailers) is it.Found.UNTOLD and outcomes.read_int(trailers, "spruce-same-model") is None
    assert outcomes.read_report(trailers) == {"util": 0.5}
