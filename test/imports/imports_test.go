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

	"contract/job":    {"machine"},
	"contract/policy": {"machine"},
	"machine/worker":  {"machine", "contract/job"},
	"machine/upkeep":  {"machine"},
	"machine/pools":   {"machine"},
	"link/lease":      {},
	"zone/placement":  {"contract/job", "machine/worker"},
	"scheduler": {
		"machine", "contract/job", "contract/policy", "link/lease",
		"machine/worker", "machine/upkeep", "machine/pools", "zone/placement",
	},
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

// wireNames are names of the users' platform that mean something else, or
// nothing, in the product.
var wireNames = []string{
	"until-ms", "fencing-token", "last-seen", "kv-txn", "kv-watch", "kv-range", "expected-rev", "est-runtime-ms",
	"long-running", "admission-check", "target-duration-ms", "Duty-Holder", "Target-Instance", "Request-Deadline", "api-keys",
}

// TestOnlyPlatformNamesTheWire guards against names of the users' platform that
// spread beyond the adapter and the stand-ins.
func TestOnlyPlatformNamesTheWire(t *testing.T) {
	root := filepath.Join("..", "..")
	err := filepath.WalkDir(root, func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		name := filepath.ToSlash(strings.TrimPrefix(path, root+string(filepath.Separator)))
		if strings.HasPrefix(name, "platform/") || strings.HasPrefix(name, "internal/standin/site/") {
			return nil
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, wire := range wireNames {
			if strings.Contains(string(data), `"`+wire) || strings.Contains(string(data), wire+`"`) {
				t.Errorf("%s names %q of the platform", name, wire)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// platformUsers are the packages that may import the adapter.
var platformUsers = []string{"internal/node/", "internal/command/", "platform/"}

// TestFewPackagesImportThePlatform guards against decisions that depend on the
// adapter.
func TestFewPackagesImportThePlatform(t *testing.T) {
	root := filepath.Join("..", "..")
	err := filepath.WalkDir(root, func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		name := filepath.ToSlash(strings.TrimPrefix(path, root+string(filepath.Separator)))
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		uses := strings.Contains(string(data), `"github.com/crocusjunction/crocusjunction/platform"`)
		allowed := false
		for _, prefix := range platformUsers {
			allowed = allowed || strings.HasPrefix(name, prefix)
		}
		if uses && !allowed {
			t.Errorf("%s imports the adapter", name)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
