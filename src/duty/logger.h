/* The logger duty: writes log lines to standard error off the other duties. */
#ifndef DUTY_LOGGER_H
#define DUTY_LOGGER_H

#include "base/err.h"

struct logger_duty;

/* Starts the thread and becomes the sink of base/log.h. */
struct logger_duty *logger_duty_new(struct err *err);
/* Writes what is queued and goes back to direct writing. */
void logger_duty_free(struct logger_duty *l);

#endif
