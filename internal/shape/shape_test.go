package shape

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// root is the path from this package to the root of the repository.
const root = "../.."

// forbiddenInDecisions lists the import paths, and the prefixes ending in a slash, that
// packages below internal/decide must not import.
var forbiddenInDecisions = []string{
	"encoding", "encoding/", "net", "net/", "os", "os/", "io", "sync", "sync/",
	"github.com/fxamacker/", "github.com/coder/", "github.com/jonboulle/", "github.com/apex/", "github.com/uber-go/",
}

// clockFunctions lists the functions of package time that read the clock or wait on it.
var clockFunctions = map[string]bool{
	"Now": true, "Since": true, "Until": true, "Sleep": true, "After": true, "AfterFunc": true,
	"NewTimer": true, "NewTicker": true, "Tick": true,
}

func parseTree(t *testing.T) map[string]*ast.File {
	t.Helper()
	files := map[string]*ast.File{}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
		files[filepath.ToSlash(path)] = file
		return err
	})
	require.NoError(t, err)
	require.NotEmpty(t, files)
	return files
}

func TestOneTypeAFile(t *testing.T) {
	for path, file := range parseTree(t) {
		count := 0
		for _, decl := range file.Decls {
			if general, ok := decl.(*ast.GenDecl); ok && general.Tok == token.TYPE {
				count += len(general.Specs)
			}
		}
		require.LessOrEqual(t, count, 1, "%s declares more than one type", path)
	}
}

func TestDecisionsImportNoEncodingNetworkOrClock(t *testing.T) {
	for path, file := range parseTree(t) {
		if !strings.Contains(path, "internal/decide/") {
			continue
		}
		for _, spec := range file.Imports {
			imported, err := strconv.Unquote(spec.Path.Value)
			require.NoError(t, err)
			for _, forbidden := range forbiddenInDecisions {
				same := imported == forbidden
				below := strings.HasSuffix(forbidden, "/") && strings.HasPrefix(imported, forbidden)
				require.False(t, same || below, "%s imports %s", path, imported)
			}
		}
		requireNoCalls(t, path, file, "time", clockFunctions)
	}
}

func TestNoSleepingOrSpinning(t *testing.T) {
	for path, file := range parseTree(t) {
		requireNoCalls(t, path, file, "time", map[string]bool{"Sleep": true})
		requireNoCalls(t, path, file, "runtime", map[string]bool{"Gosched": true})
	}
}

func TestControlStateHasNoLocks(t *testing.T) {
	for path, file := range parseTree(t) {
		if !strings.Contains(path, "internal/control/") {
			continue
		}
		requireNoCalls(t, path, file, "sync", map[string]bool{"Mutex": true, "RWMutex": true})
	}
}

// requireNoCalls fails the test if the file refers to one of the named members of a package.
func requireNoCalls(t *testing.T, path string, file *ast.File, pkg string, names map[string]bool) {
	t.Helper()
	ast.Inspect(file, func(node ast.Node) bool {
		selector, ok := node.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		owner, ok := selector.X.(*ast.Ident)
		if ok && owner.Name == pkg && owner.Obj == nil {
			require.False(t, names[selector.Sel.Name], "%s uses %s.%s", path, pkg, selector.Sel.Name)
		}
		return true
	})
}
