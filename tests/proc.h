/*
 * Child processes of tests. A child is taken for started when it prints a line
 * that begins with "ready".
 */
#ifndef PROC_H
#define PROC_H

#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define PROC_ARGS_MAX 48

struct proc {
	pid_t pid;
	/*
	 * Read end of the child's standard output; after proc_spawn() its log.
	 */
	int out_fd;
	/*
	 * Output of the child up to and including the line that begins with
	 * "ready".
	 */
	char text[8192];
};

/*
 * Writes the path of program @name that was built like this program, whose
 * argv[0] is @argv0, and has a sanitizer's report end such a program.
 */
void proc_sibling(const char *argv0, const char *name, char *path,
		  size_t size_bytes);
/*
 * Starts argv[0] with its standard error in @log_path (NULL: inherited) and
 * waits up to @timeout_ms for a line that begins with "ready". The child is
 * killed when its parent ends. Returns 0, or -1 without such a line; the child
 * is killed then.
 */
int proc_start(struct proc *p, const char *const *argv, const char *log_path,
	       uint32_t timeout_ms);
/*
 * Starts argv[0] with its output appended to @log_path and waits for nothing.
 * The child is killed when its parent ends. Returns -1 if the log cannot be
 * opened or the process cannot be made; otherwise 0, and a child that cannot
 * execute argv[0] ends with status 127.
 */
int proc_spawn(struct proc *p, const char *const *argv, const char *log_path);
/*
 * Number behind " NAME=", or in a line "NAME NUMBER", of the output; 0: none.
 */
uint32_t proc_number(const struct proc *p, const char *name);
void proc_signal(const struct proc *p, int signal_number);
/*
 * Waits for the child's end; returns its exit status, or -1 if a signal ended
 * it.
 */
int proc_wait(struct proc *p);
/* Sends SIGTERM, then proc_wait(). */
int proc_stop(struct proc *p);
/* Sends SIGKILL, then proc_wait(). */
void proc_kill(struct proc *p);

#endif
