package backend_test

import (
	"sync"
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/standin/backend"
)

// TestCrashAnswersNoRequest guards against a request that crashes the server and gets an
// empty response, because another one has already crashed it and its connection is not
// closed yet.
func TestCrashAnswersNoRequest(t *testing.T) {
	const rounds, requests = 40, 12
	s := start(t, backend.Config{RestartTime: time.Millisecond})
	for range rounds {
		var group sync.WaitGroup
		for range requests {
			group.Go(func() {
				if status, _, err := send(t.Context(), s, "/book", "", "", backend.HeaderCrash); err == nil {
					t.Errorf("a crashing request was answered: %d", status)
				}
			})
		}
		group.Wait()
	}
}
