//go:build cgo && linux

package shrinker

/*
#define _GNU_SOURCE
#include <malloc.h>
#include <pthread.h>

#ifdef __GLIBC__
// Lookups of names are the deepest calls of C code, and get by with it in other runtimes.
enum { stackBytes = 1 << 20 };

__attribute__((constructor)) static void shrinkThreads(void) {
	mallopt(M_ARENA_MAX, 1);
	pthread_attr_t attr;
	if (pthread_attr_init(&attr) != 0)
		return;
	if (pthread_attr_setstacksize(&attr, stackBytes) == 0)
		pthread_setattr_default_np(&attr);
	pthread_attr_destroy(&attr);
}
#endif
*/
import "C"
