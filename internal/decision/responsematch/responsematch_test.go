package responsematch_test

import (
	"fmt"
	"testing"

	"github.com/galenalever/galenalever/internal/decision/responsematch"
	"github.com/galenalever/galenalever/internal/model"
)

// TestAccept checks which responses on one connection are accepted.
func TestAccept(t *testing.T) {
	answer := func(id model.RequestID) responsematch.Response { return responsematch.Response{ID: id} }
	refusal := func(id model.RequestID) responsematch.Response {
		return responsematch.Response{ID: id, NotRun: true, WithoutID: id == ""}
	}
	type step struct {
		request  model.RequestID
		response responsematch.Response
		want     bool
	}
	for name, steps := range map[string][]step{
		"own responses":                        {{"a", answer("a"), true}, {"b", answer("b"), true}, {"c", refusal("c"), true}},
		"copy of an earlier response":          {{"a", answer("a"), true}, {"b", answer("a"), false}},
		"copy of an earlier refusal":           {{"a", refusal("a"), true}, {"b", refusal("a"), false}},
		"refusal without an ID":                {{"a", refusal(""), true}},
		"refusal without an ID after another":  {{"a", refusal(""), true}, {"b", refusal(""), false}},
		"refusal without an ID after a result": {{"a", answer("a"), true}, {"b", refusal(""), false}},
		"second refusal of a request":          {{"a", refusal("a"), true}, {"a", refusal("a"), false}},
		"result after a refusal":               {{"a", refusal("a"), true}, {"a", answer("a"), true}},
		"result without an ID":                 {{"a", answer(""), false}},
		"protocol without IDs":                 {{"a", responsematch.Response{WithoutID: true}, true}, {"b", responsematch.Response{WithoutID: true}, true}},
		"switch of protocols":                  {{"a", responsematch.Response{ID: "a", SwitchesProtocol: true}, false}},
		"status that is not final":             {{"a", responsematch.Response{ID: "a", NotFinal: true}, false}, {"b", answer("b"), true}},
		"not final, without IDs":               {{"a", responsematch.Response{WithoutID: true, NotFinal: true}, false}},
		"unclear length":                       {{"a", responsematch.Response{ID: "a", UnclearLength: true}, false}},
		"unclear length without IDs":           {{"a", responsematch.Response{WithoutID: true, UnclearLength: true}, false}},
		"head of two responses":                {{"a", responsematch.Response{ID: "a", Spliced: true}, false}},
		"head without a header of its kind":    {{"a", responsematch.Response{ID: "a", Incomplete: true}, false}, {"b", answer("b"), true}},
		"refusal without an ID, spliced":       {{"a", responsematch.Response{WithoutID: true, NotRun: true, Spliced: true}, false}},
	} {
		var c responsematch.Connection
		for i, s := range steps {
			if got := c.Begin().Accept(s.request, s.response); got != s.want {
				t.Errorf("%s, response %d: accepted %t", name, i+1, got)
			}
		}
	}
}

// TestManyRefusalsAreForgotten checks that a connection remembers a bounded number of
// refusals, the last ones.
func TestManyRefusalsAreForgotten(t *testing.T) {
	var c responsematch.Connection
	id := func(i int) model.RequestID { return model.RequestID(fmt.Sprint(i)) }
	refuse := func(i int) bool {
		return c.Begin().Accept(id(i), responsematch.Response{ID: id(i), NotRun: true})
	}
	for i := range 1000 {
		if !refuse(i) {
			t.Fatalf("refusal of request %d not accepted", i)
		}
	}
	if refuse(999) || !refuse(0) {
		t.Error("the last refusal is forgotten, or the first one remembered")
	}
}

// TestEarlyRequestMakesConnectionUsed guards against a request that is sent before the
// response to the previous one has been judged: a copy of that response is not believed.
func TestEarlyRequestMakesConnectionUsed(t *testing.T) {
	var c responsematch.Connection
	first, second := c.Begin(), c.Begin()
	refusal := responsematch.Response{WithoutID: true, NotRun: true}
	if second.Accept("b", refusal) {
		t.Error("the refusal on the used connection was accepted")
	}
	if !first.Accept("a", refusal) {
		t.Error("the first refusal on the connection was not accepted")
	}
}
