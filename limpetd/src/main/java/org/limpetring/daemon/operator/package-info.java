/** Interface to operators: status and explanations on the admin port, and health checks. */
@NullMarked
package org.limpetring.daemon.operator;

import org.jspecify.annotations.NullMarked;
