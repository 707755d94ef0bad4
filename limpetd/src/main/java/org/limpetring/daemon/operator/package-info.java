/** Interface to operators on the admin port: status, explanations, health. */
@NullMarked
package org.limpetring.daemon.operator;

import org.jspecify.annotations.NullMarked;
