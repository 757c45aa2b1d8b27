package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// TestDeployFile checks the build and run commands of the deployment. Operators preload a library into the node's process,
// so the binary must be linked dynamically against the C library and run must be a single process. No other test would
// notice if either were missing.
func TestDeployFile(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	var deploy struct{ Build, Run string }
	if err := toml.Unmarshal(raw, &deploy); err != nil {
		t.Fatal(err)
	}
	if !regexp.MustCompile(`^exec bin/[a-z]+$`).MatchString(deploy.Run) {
		t.Errorf("run is not one exec: %q", deploy.Run)
	}
	out := t.TempDir()
	build := strings.ReplaceAll(deploy.Build, "-o bin/", "-o "+out+"/")
	if build == deploy.Build {
		t.Fatalf("build has no -o bin/: %q", deploy.Build)
	}
	command := exec.Command("sh", "-c", build)
	command.Dir = "../.."
	if text, err := command.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	binary, err := elf.Open(filepath.Join(out, filepath.Base(strings.TrimPrefix(deploy.Run, "exec "))))
	if err != nil {
		t.Fatal(err)
	}
	defer binary.Close()
	libraries, err := binary.ImportedLibraries()
	if err != nil {
		t.Fatal(err)
	}
	if !slices.ContainsFunc(libraries, func(name string) bool { return strings.HasPrefix(name, "libc.so") }) ||
		!slices.ContainsFunc(binary.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		t.Errorf("the platform's binary is static: it needs %v", libraries)
	}
}

// TestPlatformBuildDependencies checks that the platform's build links none of the packages for the exchange between nodes,
// for the store or for the command line.
func TestPlatformBuildDependencies(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", "-tags", "platform", "canvasrouter/cmd/canvasrouter").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for _, line := range strings.Fields(string(out)) {
		if regexp.MustCompile(`internal/fleet|internal/store|jsonpatch|json-patch|hashicorp|bbolt|kong`).MatchString(line) {
			t.Errorf("links %s", line)
		}
	}
}
