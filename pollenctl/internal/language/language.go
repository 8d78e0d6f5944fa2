// Package language parses the operators' query and command language.
//
// # Usage
//
//	statements, err := language.Parse("take out zone west; watch")
//
// A statement ends with a line break or a semicolon; a comment begins with #.
//
//	show changes | entries | jobs | kinds | servers | settings | teams | zones
//	where job ID
//	why job ID
//	take out zone NAME
//	return zone NAME
//	retire server NAME
//	reinstate server NAME
//	set kind NAME [idempotent]
//	set team NAME quota N [weight N]
//	set SETTING VALUE
//	watch [VERSION]
package language

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// A Script is a sequence of statements.
type Script struct {
	Statements []*Statement `parser:"EOL* ( @@ ( EOL+ | EOF ) )*"`
}

// A Statement is one statement. Exactly one field is set.
type Statement struct {
	Reinstate *Named   `parser:"  'reinstate' 'server' @@"`
	Retire    *Named   `parser:"| 'retire' 'server' @@"`
	Return    *Named   `parser:"| 'return' 'zone' @@"`
	SetKind   *SetKind `parser:"| 'set' 'kind' @@"`
	SetTeam   *SetTeam `parser:"| 'set' 'team' @@"`
	Set       *Set     `parser:"| 'set' @@"`
	Show      *Show    `parser:"| 'show' @@"`
	TakeOut   *Named   `parser:"| 'take' 'out' 'zone' @@"`
	Watch     *Watch   `parser:"| 'watch' @@"`
	Where     *Named   `parser:"| 'where' 'job' @@"`
	Why       *Named   `parser:"| 'why' 'job' @@"`
}

// A Named names one object.
type Named struct {
	Name string `parser:"@Word"`
}

// A Set changes a setting.
type Set struct {
	Key   string `parser:"@Word"`
	Value string `parser:"@Word"`
}

// A SetKind adds or replaces a kind of job.
type SetKind struct {
	Name       string `parser:"@Word"`
	Idempotent bool   `parser:"@'idempotent'?"`
}

// A SetTeam adds or replaces a team.
type SetTeam struct {
	Name   string `parser:"@Word"`
	Quota  int    `parser:"'quota' @Word"`
	Weight int    `parser:"( 'weight' @Word )?"`
}

// A Show lists objects of one sort.
type Show struct {
	What string `parser:"@( 'changes' | 'entries' | 'jobs' | 'kinds' | 'servers' | 'settings' | 'teams' | 'zones' )"`
}

// A Watch waits until a version is in force everywhere.
type Watch struct {
	Version uint64 `parser:"@Word?"`
}

// parser parses scripts.
var parser = participle.MustBuild[Script](
	participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Comment", Pattern: `#[^\n]*`},
		{Name: "EOL", Pattern: `[\n;]+`},
		{Name: "Space", Pattern: `[ \t\r]+`},
		{Name: "Word", Pattern: `[^\s;#]+`},
	})),
	participle.Elide("Comment", "Space"),
	participle.UseLookahead(3),
)

// Parse returns the statements of a script. Its errors name the line and
// column, what was found and what was expected.
func Parse(text string) ([]*Statement, error) {
	script, err := parser.ParseString("", text)
	if err != nil {
		return nil, err
	}
	return script.Statements, nil
}
