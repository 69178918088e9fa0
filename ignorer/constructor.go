//go:build cgo

package ignorer

/*
#include <signal.h>

__attribute__((constructor)) static void ignoreHangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
