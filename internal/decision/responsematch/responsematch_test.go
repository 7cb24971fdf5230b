package responsematch_test

import (
	"fmt"
	"testing"

	"github.com/galenalever/galenalever/internal/decision/responsematch"
	"github.com/galenalever/galenalever/internal/frontend"
	"github.com/galenalever/galenalever/internal/model"
)

// TestAccept checks which responses on one connection are accepted.
func TestAccept(t *testing.T) {
	answer := func(id model.RequestID) frontend.ServerResponse { return frontend.ServerResponse{ID: id} }
	refusal := func(id model.RequestID) frontend.ServerResponse {
		return frontend.ServerResponse{ID: id, NotRun: true, WithoutID: id == ""}
	}
	type step struct {
		request  model.RequestID
		status   int
		response frontend.ServerResponse
		want     bool
	}
	for name, steps := range map[string][]step{
		"own responses":                        {{"a", 200, answer("a"), true}, {"b", 500, answer("b"), true}, {"c", 503, refusal("c"), true}},
		"copy of an earlier response":          {{"a", 200, answer("a"), true}, {"b", 200, answer("a"), false}},
		"copy of an earlier refusal":           {{"a", 503, refusal("a"), true}, {"b", 503, refusal("a"), false}},
		"refusal without an ID":                {{"a", 421, refusal(""), true}},
		"refusal without an ID after another":  {{"a", 421, refusal(""), true}, {"b", 421, refusal(""), false}},
		"refusal without an ID after a result": {{"a", 200, answer("a"), true}, {"b", 503, refusal(""), false}},
		"second refusal of a request":          {{"a", 503, refusal("a"), true}, {"a", 503, refusal("a"), false}},
		"result after a refusal":               {{"a", 503, refusal("a"), true}, {"a", 200, answer("a"), true}},
		"result without an ID":                 {{"a", 200, answer(""), false}},
		"protocol without IDs":                 {{"a", 200, frontend.ServerResponse{WithoutID: true}, true}, {"b", 200, frontend.ServerResponse{WithoutID: true}, true}},
		"switch of protocols":                  {{"a", 101, answer("a"), false}},
	} {
		var c responsematch.Connection
		for i, s := range steps {
			if got := c.Accept(s.request, s.status, s.response); got != s.want {
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
		return c.Accept(id(i), 503, frontend.ServerResponse{ID: id(i), NotRun: true})
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
