/*
 * Child processes of the bench. All are ended by process ID when the bench
 * ends, also after an error or a signal; the kernel ends them if it dies.
 */
#ifndef BENCH_PROC_H
#define BENCH_PROC_H

#include <stdint.h>

#include "base/err.h"

#define PROC_ARGS_MAX 48

struct proc;

/* @args: program and arguments, NULL-terminated; copied. */
struct proc *proc_start(const char *const *args, struct err *err);
/*
 * Reads lines of its standard output until one begins with @word and returns
 * the number that ends the line, or -1 when there is none after @wait_us.
 */
int64_t proc_number(struct proc *p, const char *word, int64_t wait_us);
/* Sends SIGTERM, after 3 s SIGKILL, and returns its CPU time in us. */
int64_t proc_stop(struct proc *p);
/* Ends all that are left; also runs at exit. */
void proc_stop_all(void);
/* 1 after SIGINT or SIGTERM. */
int proc_interrupted(void);
/* Installs the signal handlers and the exit handler. */
void proc_init(void);
/* A TCP and UDP port of 127.0.0.1 that is free now. */
uint16_t proc_free_port(struct err *err);

#endif
