/*
 * Child processes of the bench. When the bench ends, also after an error or a
 * signal, it ends each child by its process ID; if the bench is killed, the
 * kernel kills the children.
 */
#ifndef BENCH_PROC_H
#define BENCH_PROC_H

#include <stdint.h>

#include "base/err.h"

#define PROC_ARGS_MAX 48

struct proc;

/* @args: program and arguments, NULL-terminated; not needed afterwards. */
struct proc *proc_start(const char *const *args, struct err *err);
/*
 * Reads lines of the child's standard output until one begins with @word and
 * returns the number that ends the line, or -1 when none came in @wait_us.
 */
int64_t proc_number(struct proc *p, const char *word, int64_t wait_us);
/*
 * Sends SIGTERM, and SIGKILL if the child runs on for 3 s. Frees @p and returns
 * the child's CPU time in us. NULL is ignored.
 */
int64_t proc_stop(struct proc *p);
/* Ends all children that are left; also runs at exit. */
void proc_stop_all(void);
/* 1 after SIGINT or SIGTERM. */
int proc_interrupted(void);
/* Installs the signal handlers and the exit handler. */
void proc_init(void);
/* A TCP and UDP port of 127.0.0.1 that is free now. */
uint16_t proc_free_port(struct err *err);

#endif
