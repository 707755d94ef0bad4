/** Member reports, whether groups serve, and the spread of that knowledge. */
@NullMarked
package org.limpetring.groups.monitor;

import org.jspecify.annotations.NullMarked;
