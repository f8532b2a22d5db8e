// Package pimplace chooses the backend server of a new opaque flow.
package pimplace
