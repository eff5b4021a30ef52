/*
 * Signals of a host's process. SIGTERM and SIGINT stop it, SIGHUP tells it that
 * its settings may have changed, SIGPIPE has no effect. The first three are
 * blocked in all threads, and the main thread waits for them.
 */
#ifndef SIGNALS_H
#define SIGNALS_H

#include <signal.h>
#include <stdint.h>

/*
 * Blocks the signals, so that one that comes from now on waits for
 * signals_wait(), and ignores SIGPIPE. Threads that are started later inherit
 * this.
 */
void signals_block(void);
/* Undoes signals_block(), for a process that is no host. */
void signals_unblock(void);
/* The same as signals_block(); @set gets the signals for signals_wait(). */
void signals_init(sigset_t *set);
/* Waits up to @wait_ms for one of @set, which are blocked; returns it, or 0. */
int signals_wait(const sigset_t *set, int64_t wait_ms);

#endif
