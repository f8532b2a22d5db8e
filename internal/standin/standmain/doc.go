// Package standmain is the common frame of the stand-in programs: options, log, signals and exit codes.
package standmain
