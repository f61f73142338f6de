"""Guards against statements that are classified wrongly.

A write that is classified as a read is sent to a replica and lost. A setting or
transaction that is not recognised leaks into the session of the next caller
that gets the connection.
"""

import subprocess
import sys

import hypothesis
import pytest
from hypothesis import strategies

from celeryrelay.routing import classification

Kind = classification.Kind
CASES = {
    Kind.read: """
        SELECT a, COUNT(*), CONCAT(a, 'x') FROM t WHERE b IN (1, 2) LIMIT 3
        SELECT 5--1
        SELECT a->'$.x', a->>'$.y', DATE_ADD(a, INTERVAL '1' DAY) FROM t
        SELECT X'ff', b'1', 0x12, 1.5, -1, _utf8mb4'x'
        SELECT ROW_NUMBER() OVER (PARTITION BY a ORDER BY b) FROM t
        WITH x AS (SELECT 1) SELECT * FROM x
        (SELECT 1) UNION (SELECT 2) LIMIT 3
        TABLE t
        VALUES ROW(1, 2)
        SELECT 'a;b', 'FOR UPDATE', '@x', 'GET_LOCK('
        SELECT a AS `x;@y` FROM t
        SELECT /*+ MAX_EXECUTION_TIME(10) */ a FROM t
        SELECT a FROM t WHERE b = ?
        SELECT @@version_comment LIMIT 1
        SELECT 1;
        SHOW TABLES
        SHOW FULL COLUMNS FROM t
        DESCRIBE t
        EXPLAIN SELECT 1
        EXPLAIN FORMAT=JSON SELECT 1
    """,
    Kind.write: """
        INSERT INTO t VALUES (1)
        REPLACE INTO t VALUES (1)
        UPDATE t SET a = 1
        DELETE FROM t
        CREATE TABLE t (a INT)
        CALL book(1)
        DO SLEEP(1)
        SELECT SLEEP(1)
        SELECT unknown_function(1)
        SELECT unknown_function (1)
        SELECT `unknown_function`(1)
        SELECT db.NOW()
        SELECT ARRAY_APPEND(a, 1) FROM t
        SELECT 1 --1, SLEEP(5)
        SELECT a FROM t FOR UPDATE
        SELECT a FROM t FOR SHARE
        SELECT a FROM t LOCK IN SHARE MODE
        SELECT * FROM (SELECT a FROM t FOR UPDATE) AS u
        SELECT a INTO b FROM t
        SELECT LAST_INSERT_ID()
        SELECT @@session.last_insert_id
        SELECT 1 /*! , SLEEP(5) */
        SELECT 1 /*M! , SLEEP(5) */
        SELECT 1 /*!50000 FOR UPDATE */
        SELECT /* /* */ SLEEP(5) /* */
        WITH x AS (SELECT 1) UPDATE t SET a = 1
        WITH x AS (SELECT 1) DELETE FROM t
        EXPLAIN ANALYZE SELECT 1
        EXPLAIN UPDATE t SET a = 1
        SHOW WARNINGS
        SHOW MASTER STATUS
        GRANT ALL ON t TO 'a'@'h'
        SELECT a FROM t PROCEDURE ANALYSE()
        SELECT syntax error here FROM FROM
    """,
    Kind.begin: 'BEGIN\nBEGIN WORK\nSTART TRANSACTION\nstart  transaction;',
    Kind.commit: 'COMMIT\ncommit work\nCOMMIT AND NO CHAIN',
    Kind.rollback: 'ROLLBACK\nrollback work;',
    Kind.savepoint: """
        SAVEPOINT x
        SAVEPOINT `a b`
        RELEASE SAVEPOINT x
        ROLLBACK TO x
        ROLLBACK WORK TO SAVEPOINT x
    """,
    Kind.set_session: """
        SET NAMES utf8mb4
        SET NAMES 'utf8mb4' COLLATE 'utf8mb4_bin'
        SET SESSION TRANSACTION ISOLATION LEVEL READ COMMITTED
        SET time_zone = '+00:00', sql_mode = 'STRICT_TRANS_TABLES'
        SET @@session.wait_timeout = 10
    """,
    Kind.pinning: """
        SET @a = 1
        SELECT @a
        SELECT @a := 1
        SELECT a INTO @x FROM t
        SELECT 1 /*! INTO @x */
        EXPLAIN FORMAT=JSON INTO @x SELECT 1
        CALL book(@x)
        CREATE TEMPORARY TABLE t (a INT)
        DROP TEMPORARY TABLE t
        LOCK TABLES t READ
        UNLOCK TABLES
        PREPARE s FROM 'SELECT 1'
        SELECT GET_LOCK('a', 1)
        SELECT release_lock ('a')
        UPDATE t SET a = GET_LOCK('a', 1)
    """,
    Kind.unsupported: """
        SELECT 1; SELECT 2
        SELECT 1 /*! ; DROP TABLE t */
        /*! SET sql_log_bin = 0 */
        /* c */ /*! COMMIT */
        START /*! TRANSACTION */
        SELECT 'abc
        SELECT 1 /* abc
        COMMIT AND CHAIN
        COMMIT RELEASE
        BEGIN NOT ATOMIC SELECT 1
        SET TRANSACTION READ ONLY
        SET GLOBAL read_only = 0
        SET @@global.read_only = 0
        SET PERSIST a = 1
        SET a = 1, GLOBAL b = 2
        SET group_term = 5
        SET @@session.group_term = 5
        SET `group_term` = 5
        SET a = 1, group_term = 5
        SET @a = 1, group_term = 5
        SET /* c */ SESSION group_term = 5
        SET sql_mode = 'ANSI_QUOTES'
        SET sql_mode = @@sql_mode
        SET NAMES gbk
        SET character_set_client = sjis
        SET autocommit = 2
        SET autocommit = 1, a = 2
        SET @@celeryrelay_token = 5
        SET @@celeryrelay_token = 'a', a = 2
        SET PASSWORD = 'x'
        CALL group_promote(3)
        CALL `group_raise_term`(3)
        SELECT a INTO OUTFILE 'x' FROM t
        XA START 'x'
        KILL 1
        LOAD DATA LOCAL INFILE 'x' INTO TABLE t
        USE a b
    """,
}
STATEMENTS = [
    pytest.param(kind, line.strip(), id=line.strip())
    for kind, lines in CASES.items()
    for line in lines.strip().splitlines()
]
READS = [line.strip() for line in CASES[Kind.read].strip().splitlines()]
SETTINGS = hypothesis.settings(derandomize=True, max_examples=200)


@pytest.fixture(name='classifier', scope='module')
def fixture_classifier():
    return classification.Classifier(1000)


@pytest.mark.parametrize(('kind', 'sql'), STATEMENTS)
def test_kind_of_each_statement(classifier, kind, sql):
    found = classifier.classify(sql)
    assert found.kind is kind
    assert bool(found.message) == (kind is Kind.unsupported)


@pytest.mark.parametrize('sql', ['', '  ', '/* c */', '-- c', ';'])
def test_empty_text_is_refused(classifier, sql):
    assert classifier.classify(sql).kind is Kind.unsupported


@SETTINGS
@hypothesis.given(
    strategies.sampled_from(READS),
    strategies.sampled_from(
        [
            'SLEEP(1)',
            'f (1)',
            '`f`(1)',
            's.NOW()',
            'Get_Lock(1, 2)',
            '@v := 1',
            '(SELECT 1 FOR UPDATE)',
            '/*!00000 SLEEP(1) */',
            'LAST_INSERT_ID(5)',
        ]
    ),
    strategies.sampled_from([' ', '\n', '\t', ' -- c\n', '/**/', '# c\n']),
)
def test_effect_anywhere_in_a_query_is_not_a_read(read, effect, space):
    sql = 'SELECT{0}({1}) + 1{0}FROM ({2}) AS u'.format(
        space,
        effect,
        read.rstrip(';'),
    )
    found = classification.Classifier(1).classify(sql)
    assert found.kind is not Kind.read


def test_values_of_control_statements(classifier):
    use = classifier.classify('USE `a b`;')
    assert (use.kind, use.schema) == (Kind.use, 'a b')
    token = classifier.classify("SET @@celeryrelay_token = 'a-b_c'")
    assert (token.kind, token.token) == (Kind.set_token, 'a-b_c')
    for sql, expected in (
        ('SET autocommit=0', False),
        ('SET SESSION autocommit = ON', True),
        ('set @@session.autocommit := 1', True),
    ):
        found = classifier.classify(sql)
        assert found.kind is Kind.set_autocommit
        assert found.autocommit is expected
    read_only = classifier.classify('START TRANSACTION READ ONLY')
    assert read_only.read_only
    assert not classifier.classify('START TRANSACTION READ WRITE').read_only


@pytest.mark.parametrize(
    'sql',
    [
        'SELECT @@celeryrelay_token',
        'select @@session.celeryrelay_token as token;',
    ],
)
def test_query_of_the_token(classifier, sql):
    assert classifier.classify(sql).kind is Kind.select_token


@pytest.mark.parametrize(
    ('sql', 'request_id'),
    [
        ('/* celeryrelay:request=a-1 */ INSERT INTO t VALUES (1)', 'a-1'),
        ('INSERT INTO t VALUES (1) /* celeryrelay:request=a.2 */;', 'a.2'),
        ('INSERT /*celeryrelay:request=a:3*/ INTO t VALUES (1)', 'a:3'),
        ("INSERT INTO t VALUES ('/* celeryrelay:request=x */')", ''),
        ('INSERT INTO t VALUES (1) -- /* celeryrelay:request=x */ c', ''),
        ('INSERT INTO t VALUES (1) /* celeryrelay:request= */', ''),
    ],
)
def test_request_id_is_taken_from_a_comment_only(classifier, sql, request_id):
    found = classifier.classify(sql)
    assert found.kind is Kind.write
    assert found.request_id == request_id


def test_request_ids_of_cached_statements_are_not_mixed(classifier):
    sql = 'UPDATE t SET a = 1 /* celeryrelay:request={0} */'
    found = [classifier.classify(sql.format(n)).request_id for n in 'xyx']
    assert found == ['x', 'y', 'x']
    assert not classifier.classify('UPDATE t SET a = 1').request_id


def test_statements_that_differ_in_values_are_parsed_once(monkeypatch):
    parsed = []
    original = classification._is_plain_query

    def counting(text):
        parsed.append(text)
        return original(text)

    monkeypatch.setattr(classification, '_is_plain_query', counting)
    classifier = classification.Classifier(2)
    for number in range(5):
        classifier.classify(f"SELECT a FROM t WHERE b = {number} AND c = 'x'")
    assert len(parsed) == 1
    for table in ('u', 'v', 't'):
        classifier.classify(f"SELECT a FROM {table} WHERE b = 1 AND c = 'x'")
    assert len(parsed) == 4


def test_parser_is_imported_on_first_use_only():
    program = (
        'import sys; from celeryrelay.routing import classification as c;'
        'assert "sqlglot" not in sys.modules;'
        'c.Classifier(1).classify("SELECT 1");'
        'assert "sqlglot" in sys.modules'
    )
    subprocess.run([sys.executable, '-c', program], check=True, timeout=60)


@SETTINGS
@hypothesis.given(strategies.text(max_size=60))
def test_any_text_is_classified(text):
    classification.Classifier(1).classify('SELECT ' + text)
    classification.Classifier(1).classify('SET ' + text)
