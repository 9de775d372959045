// Package imports checks the import direction of the code base.
package imports

import (
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

const module = "github.com/crocusjunction/crocusjunction/internal/"

// allowedInternal lists, for each decision package, the internal packages that
// it may import.
var allowedInternal = map[string][]string{
	"machine":  {},
	"link":     {},
	"contract": {},
	"zone":     {"machine", "contract"},
	"fleet":    {"machine", "zone", "link", "contract"},
}

// allowedStandard lists the standard packages that decisions may use: no codec,
// no network, no operating system, no goroutines.
var allowedStandard = []string{
	"cmp", "errors", "fmt", "hash/fnv", "hash/maphash", "iter", "maps", "math", "math/bits", "math/rand/v2",
	"regexp", "slices", "sort", "strconv", "strings", "time", "container/heap", "crypto/sha256", "encoding/hex", "encoding/binary",
	// Pure functions, and counters that traffic goroutines share.
	"crypto/hmac", "sync/atomic",
}

// TestDecisionPackagesImportNoIO guards against decisions that depend on a
// codec, a transport or a logger.
func TestDecisionPackagesImportNoIO(t *testing.T) {
	for name, internal := range allowedInternal {
		forEachFile(t, name, func(path string) { checkImports(t, path, internal) })
	}
}

// TestDecisionPackagesReadNoClock guards against decisions that read the time
// themselves instead of taking it as an argument.
func TestDecisionPackagesReadNoClock(t *testing.T) {
	for name := range allowedInternal {
		forEachFile(t, name, func(path string) {
			data, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			for _, call := range []string{"time.Now(", "time.Since(", "time.Until(", "time.After(", "time.Sleep(", "go func"} {
				if strings.Contains(string(data), call) {
					t.Errorf("%s uses %s", path, call)
				}
			}
		})
	}
}

func forEachFile(t *testing.T, name string, check func(path string)) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("..", "..", "internal", name, "*.go"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no files in package %s: %v", name, err)
	}
	for _, path := range files {
		if !strings.HasSuffix(path, "_test.go") {
			check(path)
		}
	}
}

func checkImports(t *testing.T, path string, internal []string) {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
	if err != nil {
		t.Fatal(err)
	}
	for _, spec := range file.Imports {
		name, _ := strconv.Unquote(spec.Path.Value)
		own, isOwn := strings.CutPrefix(name, module)
		if isOwn && !contains(internal, own) || !isOwn && !contains(allowedStandard, name) {
			t.Errorf("%s imports %s", path, name)
		}
	}
}

func contains(list []string, value string) bool {
	for _, v := range list {
		if v == value {
			return true
		}
	}
	return false
}
