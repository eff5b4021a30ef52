#include "duty/serve_options.h"

const struct opt_def serve_option_defs[SERVE_OPTION_COUNT] = {
#define DEF(id, flag, env, kind, fallback, lowest, highest, help) \
	[id] = { flag, env, kind, fallback, lowest, highest, help },
	SERVE_OPTIONS(DEF)
#undef DEF
};
