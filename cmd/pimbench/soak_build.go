package main

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/samber/oops"
)

// entryPackage is the package of the program under test.
const entryPackage = "./cmd/pimentry"

// programs returns the program of this tree and, if a commit to compare with is given, the program of that commit.
func (c *soakCommand) programs(ctx context.Context) (programs []*program, err error) {
	defer func() { err = oops.In("pimbench").Wrapf(err, "build the programs") }()
	own := &program{name: "this tree", binary: c.Binary}
	if err = os.MkdirAll(c.Directory, 0o755); err != nil {
		return nil, err
	}
	if own.binary == "" {
		if own.binary, err = c.build(ctx, ".", "pimentry"); err != nil {
			return nil, err
		}
	}
	if c.Compare == "" {
		return []*program{own}, nil
	}
	other := &program{name: c.Compare}
	if other.binary, err = c.buildCommit(ctx); err != nil {
		return nil, err
	}
	return []*program{own, other}, nil
}

// buildCommit builds the program of a commit in a temporary git worktree, which is removed afterwards.
func (c *soakCommand) buildCommit(ctx context.Context) (binary string, err error) {
	tree, err := os.MkdirTemp("", "pimbench-")
	if err != nil {
		return "", err
	}
	if err = runTool(ctx, ".", "git", "worktree", "add", "--detach", tree, c.Compare); err != nil {
		return "", err
	}
	defer func() {
		if removeErr := runTool(context.WithoutCancel(ctx), ".", "git", "worktree", "remove", "--force", tree); err == nil {
			err = removeErr
		}
	}()
	return c.build(ctx, tree, "pimentry-compared")
}

func (c *soakCommand) build(ctx context.Context, tree, name string) (binary string, err error) {
	if binary, err = filepath.Abs(c.path(name)); err != nil {
		return "", err
	}
	return binary, runTool(ctx, tree, "go", "build", "-o", binary, entryPackage)
}

func runTool(ctx context.Context, directory, name string, args ...string) error {
	cmd := exec.CommandContext(ctx, name, args...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = directory, os.Stderr, os.Stderr
	return cmd.Run()
}
