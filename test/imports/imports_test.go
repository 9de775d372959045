// Package imports tests which packages the packages of this module import.
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

const internalPrefix = "github.com/crocusjunction/crocusjunction/internal/"

// decisionPackages lists the packages that make decisions, and for each of them
// the internal packages that it may import.
var decisionPackages = map[string][]string{
	"machine":  {},
	"link":     {},
	"contract": {},
	"zone":     {"machine", "contract"},
	"fleet":    {"machine", "zone", "link", "contract"},

	"contract/job":        {"machine"},
	"contract/admission":  {"contract/job"},
	"contract/policy":     {"machine"},
	"contract/usage":      {"machine"},
	"machine/worker":      {"machine", "contract/job"},
	"machine/upkeep":      {"machine"},
	"machine/pools":       {"machine"},
	"machine/pools/turns": {"machine"},
	"link/lease":          {},
	"link/intake":         {"contract/policy"},
	"zone/placement":      {"machine", "contract/job", "machine/worker"},
	"scheduler": {
		"machine", "contract/admission", "contract/job", "contract/policy", "contract/usage", "link/lease",
		"machine/worker", "machine/upkeep", "machine/pools", "machine/pools/turns", "zone/placement",
	},
}

// allowedStandardPackages lists the standard packages that decision packages may
// import: no message codecs, no network, no operating system, no goroutines.
var allowedStandardPackages = []string{
	"cmp", "errors", "fmt", "hash/fnv", "hash/maphash", "iter", "maps", "math", "math/bits", "math/rand/v2",
	"regexp", "slices", "sort", "strconv", "strings", "time", "container/heap", "crypto/sha256", "encoding/hex", "encoding/binary",
	// HMAC is a pure function; atomic counters are shared with traffic goroutines.
	"crypto/hmac", "sync/atomic",
}

// TestDecisionPackagesImportNoIO guards against a decision package that depends
// on a codec, a transport or a logger, so that another front end could not use
// it.
func TestDecisionPackagesImportNoIO(t *testing.T) {
	for name, allowed := range decisionPackages {
		forEachSourceFile(t, name, func(path string) { checkImports(t, path, allowed) })
	}
}

// TestDecisionPackagesReadNoClock guards against a decision package that reads
// the clock instead of taking the time as an argument, or that starts a
// goroutine.
func TestDecisionPackagesReadNoClock(t *testing.T) {
	for name := range decisionPackages {
		forEachSourceFile(t, name, func(path string) {
			data, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			for _, call := range []string{"time.Now(", "time.Since(", "time.Until(", "time.After(", "time.Sleep(", "go func"} {
				if strings.Contains(string(data), call) {
					t.Errorf("%s contains %s", path, call)
				}
			}
		})
	}
}

// forEachSourceFile calls check for each file of an internal package except its
// tests.
func forEachSourceFile(t *testing.T, name string, check func(path string)) {
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

// checkImports checks that a file imports only the allowed internal packages and
// allowedStandardPackages.
func checkImports(t *testing.T, path string, allowed []string) {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
	if err != nil {
		t.Fatal(err)
	}
	for _, spec := range file.Imports {
		name, _ := strconv.Unquote(spec.Path.Value)
		internal, isInternal := strings.CutPrefix(name, internalPrefix)
		if isInternal && !contains(allowed, internal) || !isInternal && !contains(allowedStandardPackages, name) {
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

// platformWireNames are names in messages of the users' platform that have
// another meaning, or none, in the rest of the code.
var platformWireNames = []string{
	"until-ms", "fencing-token", "last-seen", "kv-txn", "kv-watch", "kv-range", "expected-rev", "est-runtime-ms",
	"long-running", "admission-check", "target-duration-ms", "Duty-Holder", "Target-Instance", "Request-Deadline", "api-keys",
}

// TestWireNamesStayInAdapter guards against wire names of the users' platform in
// packages other than the adapter and the stand-in site.
func TestWireNamesStayInAdapter(t *testing.T) {
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
		for _, wire := range platformWireNames {
			if strings.Contains(string(data), `"`+wire) || strings.Contains(string(data), wire+`"`) {
				t.Errorf("%s contains the platform's wire name %q", name, wire)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// adapterImporters are the path prefixes of the packages that may import package
// platform, the adapter to the users' platform.
var adapterImporters = []string{"internal/node/", "internal/command/", "platform/"}

// TestAdapterImporters guards against packages outside adapterImporters that
// depend on the adapter.
func TestAdapterImporters(t *testing.T) {
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
		for _, prefix := range adapterImporters {
			allowed = allowed || strings.HasPrefix(name, prefix)
		}
		if uses && !allowed {
			t.Errorf("%s imports the platform adapter", name)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
