// Package pimcontract holds the contract model: what one customer may use, and how idle shares are lent.
package pimcontract
