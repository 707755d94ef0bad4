/** Tests of the discipline of platform calls. */
@NullMarked
package org.limpetring.platform.client;

import org.jspecify.annotations.NullMarked;
