/** Tests of the HTTP adapters against small servers on the loopback interface. */
@NullMarked
package org.limpetring.platform.http;

import org.jspecify.annotations.NullMarked;
