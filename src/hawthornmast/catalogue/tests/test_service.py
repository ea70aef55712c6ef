"""Tests for the selection of entries by method and path."""

import hypothesis
from hypothesis import given
from hypothesis import strategies as st
import pytest

from hawthornmast import catalogue


def _entry(name, path, *methods):
    return catalogue.Entry(name=name, owner="t", path=path, methods=methods)


SERVICE = catalogue.Service(
    name="s",
    owner="t",
    entries=(
        _entry("charge", "/renewals", "POST"),
        _entry("list", "/renewals", "GET"),
        _entry("one", "/renewals/one"),
    ),
)


class TestFindEntry:
    @pytest.mark.parametrize(
        ("method", "path", "name"),
        [
            ("POST", "/renewals", "charge"),
            ("GET", "/renewals/?x=//..;", "list"),
            ("GET", "/renewals/onemore", "list"),
            ("PUT", "/renewals/one/two", "one"),
            ("PUT", "/%72enewals/%6fne", "one"),
            ("GET", "/renewals/a%20b", "list"),
            ("GET", "/renewals/.hidden", "list"),
            ("GET", "/renewals/100%25", "list"),
        ],
    )
    def test_longest_prefix_wins(self, method, path, name):
        assert SERVICE.find_entry(method, path).unwrap().name == name

    @pytest.mark.parametrize("path", ["/", "/renewalsx", "/x/renewals"])
    def test_unknown_path(self, path):
        error = SERVICE.find_entry("GET", path).unwrap_err()
        assert error.mismatch == catalogue.Mismatch.PATH

    @pytest.mark.parametrize("method", ["CONNECT", "TRACE", "get", ""])
    def test_unsupported_methods_are_rejected(self, method):
        # Guards against tunnels through an entry without a method list.
        error = SERVICE.find_entry(method, "/renewals/one").unwrap_err()
        assert error.mismatch == catalogue.Mismatch.METHOD

    def test_method_not_allowed_lists_methods(self):
        error = SERVICE.find_entry("DELETE", "/renewals/x").unwrap_err()
        assert error.mismatch == catalogue.Mismatch.METHOD
        assert error.methods == ("POST", "GET")

    @pytest.mark.parametrize(
        "path",
        [
            "",
            "*",
            "renewals",
            "//renewals",
            "/renewals//",
            "/x/../renewals",
            "/x/%2e%2E/renewals",
            "/./renewals",
            "/renewals/..",
            "/renewals%2fone",
            "/renewals\\one",
            "/renewals%5cone",
            "/renewals;a=1",
            "/renewals%3Ba",
            "/renewals%00",
            "/renewals/%252e%252e",
            "/renewals/%zz",
            "/renewals/%c0%ae",
            "/renewals\n",
            "/renewals#x",
        ],
    )
    def test_ambiguous_paths_are_rejected(self, path):
        # Guards against an entry chosen by another path than the upstream
        # sees after decoding or normalization.
        error = SERVICE.find_entry("GET", path).unwrap_err()
        assert error.mismatch == catalogue.Mismatch.AMBIGUOUS_PATH

    # On a busy machine one example can exceed the default deadline.
    @hypothesis.settings(deadline=None)
    @given(st.text(alphabet="/.%2efFa5cC;\\", max_size=20))
    def test_accepted_segments_are_unambiguous(self, path):
        split = catalogue.split_path("/" + path)
        if split.is_ok():
            for segment in split.unwrap():
                assert segment not in ("", ".", "..")
                assert not set(segment) & set("/\\;")
