/* Script areas of test_control.c, which the control_*.c files define. */
#ifndef CONTROL_AREAS_H
#define CONTROL_AREAS_H

#include "script.h"

extern const struct script_area cfg_json_area;
extern const struct script_area cfg_area;
extern const struct script_area membership_area;
extern const struct script_area kv_limiter_area;

#endif
