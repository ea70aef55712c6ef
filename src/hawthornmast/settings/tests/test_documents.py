"""Tests of settings files."""

import pathlib

import hypothesis
from hypothesis import given
from hypothesis import strategies as st
import pytest

from hawthornmast import settings

ROOT = pathlib.Path(__file__).parents[4]
EXAMPLE_PATH = ROOT / "examples" / "settings.toml"
EXAMPLE_TEXT = EXAMPLE_PATH.read_text()


class TestParseSettings:
    def test_example_is_valid(self):
        loaded = settings.load_settings(EXAMPLE_PATH).unwrap()
        assert loaded.instance.to_instance().address == "127.0.0.1:8080"
        assert loaded.limits.answer_buffer_bytes == 65536

    @pytest.mark.parametrize(
        ("old", "new"),
        [
            ('"entry-a1"', "7"),
            ('host = "127.0.0.1"', 'host = "localhost"'),
            ('host = "127.0.0.1"', 'host = "0.0.0.0"'),
            ("peer_port = 8081", "peer_prt = 8081"),
            ("peer_port = 8081", "peer_port = 8080"),
            ("ticket_ttl_ms = 60000", "ticket_ttl_ms = 0"),
            ('"example-secret-replace-before-use"', '"short-secret"'),
            ('"example-secret-replace-before-use"', ""),
            ('"info"', '"inform"'),
            ("[platform]", "[platfrom]"),
        ],
    )
    def test_problems_are_listed(self, snapshot, old, new):
        # Guards against partly accepted settings and unreported problems.
        assert old in EXAMPLE_TEXT
        parsed = settings.parse_settings(
            EXAMPLE_TEXT.replace(old, new), source="settings.toml"
        )
        problems = [str(problem) for problem in parsed.unwrap_err()]
        assert problems == snapshot

    def test_secrets_are_not_shown(self):
        # Guards against secrets in logs, including rejected secrets.
        text = EXAMPLE_TEXT.replace(
            "example-secret-replace-before-use", "short"
        )
        problems = settings.parse_settings(text, source="s").unwrap_err()
        assert not any("short" in str(problem) for problem in problems)
        assert "example-secret" not in repr(
            settings.load_settings(EXAMPLE_PATH)
        )

    # On a busy machine one example may exceed the default deadline.
    @hypothesis.settings(deadline=None)
    @given(st.text())
    def test_never_raises(self, text):
        assert settings.parse_settings(text, source="s").is_err()


class TestLoadSettings:
    def test_unreadable_files_are_problems(self, tmp_path):
        (tmp_path / "binary").write_bytes(b"\xff\xfe")
        for name in ("missing", "binary", "."):
            problems = settings.load_settings(tmp_path / name).unwrap_err()
            assert problems[0].allowed == "a readable UTF-8 file"
