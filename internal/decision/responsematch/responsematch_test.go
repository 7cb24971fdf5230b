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
		"head of two responses":                {{"a", responsematch.Response{ID: "a", Spliced: true}, false}},
		"head without a header of its kind":    {{"a", responsematch.Response{ID: "a", Incomplete: true}, false}, {"b", answer("b"), true}},
		"refusal without an ID, spliced":       {{"a", responsematch.Response{WithoutID: true, NotRun: true, Spliced: true}, false}},
	} {
		var c responsematch.Connection
		for i, s := range steps {
			if got := c.Accept(s.request, s.response); got != s.want {
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
		return c.Accept(id(i), responsematch.Response{ID: id(i), NotRun: true})
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
