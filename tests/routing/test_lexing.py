"""Guards against text that the parser and the server tokenize differently."""

import pytest

from celeryrelay.routing import lexing


@pytest.mark.parametrize(
    ('sql', 'text'),
    [
        ('SELECT 5--1', 'SELECT 0- -0'),
        ('SELECT 5 -- 1', 'SELECT 0'),
        ('SELECT 1 /* /* */ + 2 /* */', 'SELECT 0   + 0'),
        ("SELECT 'it''s \\' -- x', \"/*\" # c", "SELECT '$', '$'"),
        ('SELECT `a--b`, `c``d`', 'SELECT `a--b`, `c``d`'),
        ('SELECT t1.a2, 1.5, 1e5, 7', 'SELECT t1.a2, 1.5, 1e5, 0'),
        ("SELECT X'0f', INTERVAL '1' DAY", "SELECT 0, INTERVAL '0' DAY"),
    ],
)
def test_comments_and_literals_are_replaced_as_the_server_reads_them(sql, text):
    assert lexing.scan(sql).text == text


def test_lists_are_split_outside_of_quotes_and_parentheses():
    parts = lexing.split_list('a = \'x,y\', b = f(1, 2), `c,d` = "e,f"')
    assert parts == ["a = 'x,y'", 'b = f(1, 2)', '`c,d` = "e,f"']
