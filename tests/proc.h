/* Child processes of tests: started, waited for by a line they print, ended. */
#ifndef PROC_H
#define PROC_H

#include <stdint.h>
#include <sys/types.h>

#define PROC_ARGS_MAX 48

struct proc {
	pid_t pid;
	/* Read end of the child's standard output. */
	int out_fd;
	/* Lines up to and with the one that begins with "ready". */
	char text[8192];
};

/*
 * Starts argv[0] with its standard error in @log_path (NULL: inherited) and
 * waits up to @timeout_ms for a line that begins with "ready". The child ends
 * with its parent. Returns 0, or -1 when the line did not come; the child is
 * ended then.
 */
int proc_start(struct proc *p, const char *const *argv, const char *log_path,
	       uint32_t timeout_ms);
/*
 * Starts argv[0] with its output appended to @log_path and waits for nothing.
 * The child ends with its parent. Returns 0, or -1 when it cannot be started.
 */
int proc_spawn(struct proc *p, const char *const *argv, const char *log_path);
/* Number in "name=NUMBER", or in a line "name NUMBER"; 0: none. */
uint32_t proc_number(const struct proc *p, const char *name);
void proc_signal(const struct proc *p, int signal_number);
/* Waits for the end; returns the exit status, or -1 after a signal. */
int proc_wait(struct proc *p);
/* SIGTERM, then proc_wait(). */
int proc_stop(struct proc *p);
/* SIGKILL, then proc_wait(). */
void proc_kill(struct proc *p);

#endif
