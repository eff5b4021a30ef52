/* Subcommands of the stand-in program. */
#ifndef STANDIN_MAINS_H
#define STANDIN_MAINS_H

#include "base/err.h"

/* Value of --admin-port that opens no control port. */
#define MAINS_NO_PORT 65536
/*
 * Default of --run-s, so that a stand-in ends if its starter does not end it.
 */
#define MAINS_RUN_S 3600

enum err_code main_target(int argc, char **argv, struct err *err);
/* "standin merge": prints the merged hits that a host must answer. */
enum err_code main_merge(int argc, char **argv, struct err *err);
enum err_code main_store(int argc, char **argv, struct err *err);

#endif
