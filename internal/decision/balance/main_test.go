package balance_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of random tests; -rapid.seed sets another one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}
