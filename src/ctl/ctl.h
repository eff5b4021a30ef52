/* The operator's commands: "cowslippoint ctl ..." over the admin API. */
#ifndef CTL_H
#define CTL_H

#include <stdint.h>

#include "base/util.h"
#include "base/err.h"

enum ctl_exit {
	CTL_DONE = 0,
	/* Refused, rolled back, or not done within the time to wait. */
	CTL_REFUSED = 1,
	CTL_USAGE = 2,
	CTL_NOT_REACHABLE = 3
};

enum ctl_stream { CTL_STDOUT, CTL_STDERR };

/* What the commands need from outside; tests replace these functions. */
struct ctl_io {
	/*
	 * Sends one call to the host whose admin address is @admin. ERR_OK with
	 * the HTTP status and the body, ERR_IO when nothing was sent, or
	 * ERR_STORE_UNKNOWN when the answer was lost.
	 */
	enum err_code (*call)(void *ctx, const char *admin, const char *token,
			      const char *method, const char *path,
			      const char *body, uint32_t *http_status,
			      struct buf *out, struct err *err);
	void (*print)(void *ctx, enum ctl_stream to, const char *text);
	/* Value of an environment variable or NULL. */
	const char *(*env_value)(void *ctx, const char *name);
	/* Waits between two polls of a change. */
	void (*sleep_ms)(void *ctx, uint32_t ms);
	/* 1: the progress of --wait is printed to standard error. */
	uint32_t is_terminal;
	void *ctx;
};

/* Both return an enum ctl_exit; @argv begins with the word "ctl". */
int ctl_main(int argc, char **argv);
int ctl_run(const struct ctl_io *io, int argc, char **argv);

#endif
