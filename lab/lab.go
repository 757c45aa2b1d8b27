// Package lab embeds the built-in experiments.
package lab

import "embed"

// Files contains each built-in experiment as NAME.toml.
//
//go:embed *.toml
var Files embed.FS
