// Package pimcontract defines contracts (what each customer may use, and how idle shares are lent) and the published
// fleet, and reads and validates both from TOML files.
package pimcontract
