// Package pimtoml decodes TOML strictly and reports every fault with file, line, key and reason.
package pimtoml
