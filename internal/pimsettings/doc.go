// Package pimsettings holds the settings of one VM: TOML decoding, defaults and validation.
package pimsettings
